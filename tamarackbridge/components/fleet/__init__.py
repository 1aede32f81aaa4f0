"""The routers of the fleet: who they are and what they tell each other."""
