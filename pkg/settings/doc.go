// Package settings reads the static settings of a process from YAML. They are
// separate from the dynamic configuration, which operators change at run time
// (model.Config).
package settings
