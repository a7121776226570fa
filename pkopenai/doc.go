// Package pkopenai decodes requests and encodes responses of the OpenAI HTTP API: models, chat
// completions and completions, as one JSON body or as server-sent events.
package pkopenai
