"""Rolling out controllers: the level of a site, a controller left empty, one after the other."""
