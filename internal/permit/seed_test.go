package permit

import _ "github.com/agatestep/agatestep/internal/fixedseed"
