"""Parts that the whole process uses: clocks, timers, log, descriptor and memory budgets, disk worker."""
