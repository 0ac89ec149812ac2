package coldgate

import _ "github.com/agatestep/agatestep/internal/fixedseed"
