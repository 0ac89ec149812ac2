package placement

import _ "github.com/agatestep/agatestep/internal/fixedseed"
