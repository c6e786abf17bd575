"""Imported before anything else by a program that obeys SIGHUP: ignores it until then.

SIGHUP says that the settings have changed, and the system's default is to end the process. Until
the event loop takes the signal over, after 0.2 s of imports and more on a busy machine, it ended a
process without a word: a gateway of the fault soak was gone for good so. Nothing is
missed: the settings are read after this, and looked at again each second.
"""

import signal

signal.signal(signal.SIGHUP, signal.SIG_IGN)
