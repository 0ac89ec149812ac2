package entry

import _ "github.com/agatestep/agatestep/internal/fixedseed"
