/** Keeps the log out of the test report. */
import { log } from "../src/base/log.js";

log.level = Number.NEGATIVE_INFINITY;
