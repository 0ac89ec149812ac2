package balance

import _ "github.com/agatestep/agatestep/internal/fixedseed"
