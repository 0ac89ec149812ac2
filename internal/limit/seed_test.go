package limit

import _ "github.com/agatestep/agatestep/internal/fixedseed"
