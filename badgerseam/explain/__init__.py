"""Why a job waits: asked of any controller, answered by the one that plans for the job."""
