"""Terms of batch jobs: holds, begin times, throttles, dependencies and singletons; and job numbers.

No controller has to act for a term to take effect: terms are part of the job's record, and whether
they permit a start is derived from records alone. So nothing is lost with a controller, and the end
of one job releases any number of dependent jobs without a write.
"""
