"""An agent's part in what its group agrees on by a majority."""
