package ownership

import _ "github.com/agatestep/agatestep/internal/fixedseed"
