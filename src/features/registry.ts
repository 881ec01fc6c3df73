/** The features of a router: their settings and, in running order, their controllers. */
import { z } from "zod";
import type { ControllerFactory } from "../kernel/kernel.js";
import { LifecycleController } from "./lifecycle/lifecycleController.js";
import { LifecycleSettingsSchema } from "./lifecycle/lifecycleSettings.js";

/** Settings of all features. A feature adds `name: NameSettingsSchema.prefault({})` here. */
export const FeatureSettingsSchema = z.strictObject({
    lifecycle: LifecycleSettingsSchema.prefault({}),
});
export type FeatureSettings = z.infer<typeof FeatureSettingsSchema>;

/**
 * @param settings Settings of all features.
 * @returns A factory of the controllers, in the order in which they handle each event.
 */
export function createControllerFactory(settings: FeatureSettings): ControllerFactory {
    return context => [
        new LifecycleController(context, settings.lifecycle),
    ];
}
