package config

import (
	"fmt"
	"io"
	"strings"
)

// WritePage generates the configuration reference (docs/configuration.md) from the schema.
func WritePage(w io.Writer) error {
	var b strings.Builder
	b.WriteString("# Configuration\n\nWritten by `pineport config page`; do not edit.\n\n" +
		"`RELAY_CONFIG` or `--config` names the configuration file. Its extension selects the format: TOML, YAML, or else JSON. Sources,\n" +
		"each overriding the previous one: defaults, the file, environment variables, flags (`--set KEY=VALUE`). The JSON configuration that\n" +
		"the platform writes for a courier is accepted unchanged. Plain lists may be written as lists. In YAML and TOML the seed must be quoted.\n\n" +
		"On SIGHUP the courier reads the file again. The last column tells how a changed key takes effect; \"taken over at once\" includes\n" +
		"messages already accepted. An invalid file changes nothing.\n\n" +
		"| key | meaning | unit | allowed | default | on reload |\n| --- | --- | --- | --- | --- | --- |\n")
	for _, key := range Schema {
		if key.Ignored {
			continue
		}
		defaultText := key.Default
		if key.Required {
			defaultText = "none (required)"
		} else if defaultText == "" {
			defaultText = "none"
		}
		doc := key.Doc
		if key.EnvVar != "" {
			doc += "; `" + key.EnvVar + "`"
		}
		fmt.Fprintf(&b, "| `%s` | %s | %s | %s | %s | %s |\n", key.Path, doc, key.Unit, key.Expects(), defaultText, key.OnReload())
	}
	b.WriteString("\nKeys of the platform that couriers do not read are ignored. Any other unknown key causes a warning that names the most similar\n" +
		"known key, as do settings that have no effect in combination with others. With `pineport config check --strict` both are errors.\n")
	_, err := io.WriteString(w, b.String())
	return err
}

// Example returns a commented TOML file with every key, except known, those of tenants and those that couriers do not read.
// Required keys have example values; other keys are commented out, unless the example needs them.
func Example() string {
	var b strings.Builder
	b.WriteString("# A courier's configuration. Keys that are commented out stand at their defaults; docs/configuration.md has all of them.\n")
	examples := map[string]string{"name": `"n0"`, "listen": `"127.0.0.1:6379"`, "discovery": `"127.0.0.1:8500"`, "seed": `"8c1f30d27a5be964"`,
		"settings.tick-s": "0.005", "settings.classes[].name": `"update"`, "settings.classes[].slo-s": "1.0", "settings.classes[].deadline-s": "8.0",
		"settings.classes[].points": "1.0", "settings.classes[].idempotency": `"free"`, "settings.family-info.slots": "20", "settings.ceilings.open-cap": "200",
		"settings.ceilings.try-limit": "6", "settings.ceilings.conn-idle-s": "5.0", "settings.zones": `["a"]`, "settings.shapes": `["plain"]`}
	currentSection := ""
	for _, inLists := range []bool{false, true} { // arrays of tables come last: in TOML, keys after [[...]] belong to its table
		for _, k := range Schema {
			if k.Ignored || k.Kind == Any || strings.Contains(k.Path, "[]") != inLists || strings.HasPrefix(k.Path, "settings.tenants") {
				continue
			}
			dot := strings.LastIndexByte(k.Path, '.')
			section, key := "", k.Path
			if dot >= 0 {
				section, key = k.Path[:dot], k.Path[dot+1:]
			}
			if section != currentSection {
				currentSection = section
				if name, ok := strings.CutSuffix(section, "[]"); ok {
					fmt.Fprintf(&b, "\n[[%s]]\n", name)
				} else {
					fmt.Fprintf(&b, "\n[%s]\n", section)
				}
			}
			unit := ""
			if k.Unit != "" {
				unit = ", " + k.Unit
			}
			fmt.Fprintf(&b, "# %s%s: %s\n", k.Doc, unit, k.Expects())
			switch value, hasExample := examples[k.Path]; {
			case hasExample:
				fmt.Fprintf(&b, "%s = %s\n", key, value)
			case k.Kind == Text && k.Default != "" || k.Kind == Words:
				fmt.Fprintf(&b, "# %s = %q\n", key, k.Default)
			default:
				fmt.Fprintf(&b, "# %s = %s\n", key, k.Default)
			}
		}
	}
	return b.String()
}
