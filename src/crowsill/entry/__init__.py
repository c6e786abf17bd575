"""The entry role: follows the control members and serves callers."""
