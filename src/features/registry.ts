/** The features of a router: their settings and, in running order, their controllers. */
import { z } from "zod";
import type { ControllerFactory } from "../kernel/kernel.js";
import { AdmissionController } from "./admission/admissionController.js";
import { AdmissionSettingsSchema } from "./admission/admissionSettings.js";
import { ConfigController } from "./config/configController.js";
import { ConfigSettingsSchema } from "./config/configSettings.js";
import { IdempotencyController } from "./idempotency/idempotencyController.js";
import { IdempotencySettingsSchema } from "./idempotency/idempotencyTypes.js";
import { UpstreamController } from "./upstream/upstreamController.js";
import { UpstreamSettingsSchema } from "./upstream/upstreamSettings.js";

/** Settings of all features. */
export const FeatureSettingsSchema = z.strictObject({
    config: ConfigSettingsSchema.prefault({}),
    idempotency: IdempotencySettingsSchema.prefault({}),
    upstream: UpstreamSettingsSchema.prefault({}),
    admission: AdmissionSettingsSchema.prefault({}),
});
export type FeatureSettings = z.infer<typeof FeatureSettingsSchema>;

/**
 * @param settings Settings of all features.
 * @returns A factory of the controllers, in the order in which they handle each event.
 */
export function createControllerFactory(settings: FeatureSettings): ControllerFactory {
    return context => [
        new ConfigController(context, settings.config),
        new IdempotencyController(context, settings.idempotency),
        new UpstreamController(context, settings.upstream),
        new AdmissionController(context, settings.admission),
    ];
}
