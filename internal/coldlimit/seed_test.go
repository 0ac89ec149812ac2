package coldlimit

import _ "github.com/agatestep/agatestep/internal/fixedseed"
