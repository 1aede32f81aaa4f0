"""A soak of real router processes under faults that come from outside."""
