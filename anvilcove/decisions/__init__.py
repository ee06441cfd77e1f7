"""Decision policies that open no socket and read no clock."""
