"""Small protocol models that are checked by enumerating all states."""
