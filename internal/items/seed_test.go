package items

import _ "github.com/agatestep/agatestep/internal/fixedseed"
