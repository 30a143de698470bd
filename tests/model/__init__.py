"""Small models of protocols, whose states are enumerated."""
