// Messages between daemons about the configuration.

/** Asks for what came after a version. */
struct FetchConfiguration {
  1: required i64 known_version
}

/** The patch that made one version, as JSON. */
struct ConfigurationPatch {
  1: required i64 version
  2: required string patch_id
  3: required binary patch
}

/** The patches after the known version, or the whole row; neither if there is nothing newer. */
struct ConfigurationCopy {
  1: required i64 version
  2: optional binary row
  3: optional list<ConfigurationPatch> patches
}
