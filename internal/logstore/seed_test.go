package logstore

import _ "github.com/agatestep/agatestep/internal/fixedseed"
