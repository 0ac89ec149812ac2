package control

import _ "github.com/agatestep/agatestep/internal/fixedseed"
