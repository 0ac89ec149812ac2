package table

import _ "github.com/agatestep/agatestep/internal/fixedseed"
