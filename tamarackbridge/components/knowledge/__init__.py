"""What a router knows of the fleet's surroundings, and since when."""
