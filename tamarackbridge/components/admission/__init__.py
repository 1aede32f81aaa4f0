"""Which request goes next: order, waiting, refusing, budgets."""
