// Package settings reads the static settings of a process from YAML. They are
// apart from the dynamic configuration that operators change (model.Config).
package settings
