"""Messages and message streams between crowsill's own processes."""
