"""Ignores SIGHUP until the program handles it; must be the program's first import.

SIGHUP announces changed settings, but by default it terminates the process. The event loop handles
the signal only after the imports, which take 0.2 s and more on a busy machine. Until then, SIGHUP
terminated a starting gateway permanently and without a log line. Ignoring it loses no change:
the settings are read after the imports and checked again every second.
"""

import signal

signal.signal(signal.SIGHUP, signal.SIG_IGN)
