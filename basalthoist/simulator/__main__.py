import sys

from .adapter import main

sys.exit(main())
