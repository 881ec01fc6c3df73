#!/usr/bin/env node
/** The entry process. */
