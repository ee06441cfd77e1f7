"""Decision policies; they do no I/O and read no clock."""
