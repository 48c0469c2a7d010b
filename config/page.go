package config

import (
	"fmt"
	"io"
	"strings"
)

// WritePage writes the page on configuration, from the schema.
func WritePage(w io.Writer) error {
	var b strings.Builder
	b.WriteString("# Configuration\n\nWritten by `pineport config page`; do not edit.\n\n" +
		"A file in JSON, TOML or YAML, by its name's ending (JSON for any other), named by `RELAY_CONFIG` or `--config`. Layers, each\n" +
		"over the one before: defaults, the file, variables, flags (`--set KEY=VALUE`). The platform's file, in JSON, is read as it is.\n" +
		"Lists of plain values may be written as lists. In YAML and TOML put the seed in quotes.\n\n" +
		"On SIGHUP the file is read anew. What the last column calls taken over applies at once, to messages that are held as well unless\n" +
		"it says otherwise; a faulty file changes nothing.\n\n" +
		"| key | what | unit | allowed | if missing | on reload |\n| --- | --- | --- | --- | --- | --- |\n")
	for _, key := range Schema {
		if key.Ignored {
			continue
		}
		missing := key.Default
		if key.Needed {
			missing = "a fault"
		} else if missing == "" {
			missing = "none"
		}
		doc := key.Doc
		if key.EnvVar != "" {
			doc += "; `" + key.EnvVar + "`"
		}
		fmt.Fprintf(&b, "| `%s` | %s | %s | %s | %s | %s |\n", key.Path, doc, key.Unit, key.Expects(), missing, key.OnReload())
	}
	b.WriteString("\nKeys of the platform that nothing here reads are passed over; any other unknown key is warned of, with the nearest known one,\n" +
		"and so are settings that come to nothing beside others; with `--strict` both are faults.\n")
	_, err := io.WriteString(w, b.String())
	return err
}

// Example is a commented file with every key, in TOML: those that must be given with an example, the others commented out.
func Example() string {
	var b strings.Builder
	b.WriteString("# A courier's configuration. Keys that are commented out stand at their defaults; docs/configuration.md has all of them.\n")
	examples := map[string]string{"name": `"n0"`, "listen": `"127.0.0.1:6379"`, "discovery": `"127.0.0.1:8500"`, "seed": `"8c1f30d27a5be964"`,
		"settings.tick-s": "0.005", "settings.classes[].name": `"update"`, "settings.classes[].slo-s": "1.0", "settings.classes[].deadline-s": "8.0",
		"settings.classes[].points": "1.0", "settings.classes[].idempotency": `"free"`, "settings.family-info.slots": "20", "settings.ceilings.open-cap": "200",
		"settings.ceilings.try-limit": "6", "settings.ceilings.conn-idle-s": "5.0", "settings.zones": `["a"]`, "settings.shapes": `["plain"]`}
	table := ""
	for _, list := range []bool{false, true} { // tables of lists last, as TOML wants it
		for _, k := range Schema {
			if k.Ignored || k.Kind == Any || strings.Contains(k.Path, "[]") != list || strings.HasPrefix(k.Path, "settings.tenants") {
				continue
			}
			at := strings.LastIndexByte(k.Path, '.')
			in, key := "", k.Path
			if at >= 0 {
				in, key = k.Path[:at], k.Path[at+1:]
			}
			if in != table {
				table = in
				if name, ok := strings.CutSuffix(in, "[]"); ok {
					fmt.Fprintf(&b, "\n[[%s]]\n", name)
				} else {
					fmt.Fprintf(&b, "\n[%s]\n", in)
				}
			}
			unit := ""
			if k.Unit != "" {
				unit = ", " + k.Unit
			}
			fmt.Fprintf(&b, "# %s%s: %s\n", k.Doc, unit, k.Expects())
			switch value, given := examples[k.Path]; {
			case given:
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
