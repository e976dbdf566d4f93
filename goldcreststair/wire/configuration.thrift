// Messages between daemons about the configuration.

/** Asks for the version in force at the other side. */
struct FetchConfiguration {
  1: required i64 known_version
}

/** One version as the store holds it; version 0 if the other side has none newer. */
struct ConfigurationCopy {
  1: required i64 version
  2: required binary row
}
