"""Terms of batch jobs, kept by the service: holds, begin times, throttles, dependencies, numbers.

No controller has to act for a term to take effect: terms are part of the job's record, and whether
they hold is derived from records alone. So nothing is lost with a controller, and the end of one
job releases any number of dependants without a single write.
"""
