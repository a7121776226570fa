// Package pkopenai reads and writes the OpenAI HTTP API as callers speak it:
// models, chat completions and completions, whole or as server-sent events.
// It is an adapter; nothing in it decides.
package pkopenai
