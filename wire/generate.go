package wire

//go:generate go tool go-jsonschema -p wire --tags json --capitalization ID --capitalization TLS --schema-root-type=https://petrelstep.example/schema/settings.json=Settings -o wire.go ../schema/messages.json ../schema/settings.json
