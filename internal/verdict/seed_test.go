package verdict

import _ "github.com/agatestep/agatestep/internal/fixedseed"
