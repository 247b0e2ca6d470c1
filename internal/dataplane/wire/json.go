package wire

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"

	"pepperfall.example/pepperfall/policy"
)

// SettingPairs are the settings of an instance as path=value pairs.
type SettingPairs struct{ pairs []string }

// SettingPairsFromJSON turns settings given as nested JSON into the pairs that a
// CONFIGURE line holds, so that the proxy and the simulator's adapter share one mapping.
func SettingPairsFromJSON(data []byte) (SettingPairs, error) {
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.UseNumber()
	var top map[string]any
	if err := dec.Decode(&top); err != nil {
		return SettingPairs{}, fmt.Errorf("settings: %w", err)
	}
	if len(top) == 0 {
		return SettingPairs{}, errors.New("settings: none")
	}
	var f SettingPairs
	f.add("", top)
	return f, nil
}

// Settings returns the pairs as settings of the policy package.
func (f SettingPairs) Settings() (policy.Settings, error) {
	s, err := parseSettings(f.pairs)
	if err != nil {
		return s, fmt.Errorf("settings: %w", err)
	}
	return s, nil
}

// Duration returns the value of key, which is given in milliseconds; 0 if the key is absent.
func (f SettingPairs) Duration(key string) (time.Duration, error) {
	for _, p := range f.pairs {
		if v, ok := strings.CutPrefix(p, key+"="); ok {
			single := settingValues{values: map[string]string{key: v}}
			d := single.ms(key)
			return d, single.err
		}
	}
	return 0, nil
}

// PairValue returns s in the form used in a pair: spaces and commas become underscores.
func PairValue(s string) string {
	if !strings.ContainsAny(s, " ,") {
		return s
	}
	return strings.NewReplacer(" ", "_", ",", "_").Replace(s)
}

func (f *SettingPairs) add(path string, v any) {
	switch v := v.(type) {
	case map[string]any:
		for k, e := range v {
			if path != "" {
				k = path + "." + k
			}
			f.add(k, e)
		}
	case []any:
		if len(v) > 0 {
			if _, ok := v[0].(map[string]any); ok {
				f.pairs = append(f.pairs, path+".count="+strconv.Itoa(len(v)))
				for i, e := range v {
					f.add(path+"."+strconv.Itoa(i), e)
				}
				return
			}
		}
		words := make([]string, len(v))
		for i, e := range v {
			words[i] = PairValue(fmt.Sprint(e))
		}
		f.pairs = append(f.pairs, path+"="+strings.Join(words, ","))
	case nil:
	default:
		f.pairs = append(f.pairs, path+"="+PairValue(fmt.Sprint(v)))
	}
}
