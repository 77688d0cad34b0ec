"""Terms of batch jobs: holds, begin times, throttles, dependencies and singletons; and job numbers.

Terms are part of the job's record, and whether they permit a start is computed from records alone;
no controller has to act for a term to take effect. No term is therefore lost when a controller
ends, and the end of one job releases any number of dependent jobs without a write.
"""
