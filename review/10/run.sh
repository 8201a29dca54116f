#!/usr/bin/env bash
# Plays case 10; TROUBLE=0 plays it without the disruption.
cd "$(dirname "$0")" && exec node play.js
