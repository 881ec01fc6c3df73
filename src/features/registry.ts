/** Registry of the features of a router: their settings, and their controllers in the order in which they handle events. */
import { z } from "zod";
import type { ControllerFactory } from "../kernel/kernel.js";
import { AdmissionController } from "./admission/admissionController.js";
import { AdmissionSettingsSchema } from "./admission/admissionSettings.js";
import { BudgetController } from "./budget/budgetController.js";
import { BudgetSettingsSchema } from "./budget/budgetSettings.js";
import { ConfigController } from "./config/configController.js";
import { ConfigSettingsSchema } from "./config/configSettings.js";
import { IdempotencyController } from "./idempotency/idempotencyController.js";
import { IdempotencySettingsSchema } from "./idempotency/idempotencyTypes.js";
import { JournalController } from "./journal/journalController.js";
import { JournalSettingsSchema } from "./journal/journalSettings.js";
import { LifecycleController } from "./lifecycle/lifecycleController.js";
import { LifecycleSettingsSchema } from "./lifecycle/lifecycleSettings.js";
import { MembershipController } from "./membership/membershipController.js";
import { MembershipSettingsSchema } from "./membership/membershipSettings.js";
import { RecoveryController } from "./recovery/recoveryController.js";
import { RecoverySettingsSchema } from "./recovery/recoverySettings.js";
import { UpstreamController } from "./upstream/upstreamController.js";
import { UpstreamSettingsSchema } from "./upstream/upstreamSettings.js";

/** Settings of all features, by feature; a missing section gets its defaults. */
export const FeatureSettingsSchema = z.strictObject({
    config: ConfigSettingsSchema.prefault({}),
    membership: MembershipSettingsSchema.prefault({}),
    journal: JournalSettingsSchema.prefault({}),
    budget: BudgetSettingsSchema.prefault({}),
    recovery: RecoverySettingsSchema.prefault({}),
    idempotency: IdempotencySettingsSchema.prefault({}),
    upstream: UpstreamSettingsSchema.prefault({}),
    admission: AdmissionSettingsSchema.prefault({}),
    lifecycle: LifecycleSettingsSchema.prefault({}),
});
/** Validated settings of all features. */
export type FeatureSettings = z.infer<typeof FeatureSettingsSchema>;

/**
 * Creates the factory of the controllers of all features.
 * @param settings Settings of all features.
 * @returns A factory of the controllers, in the order in which they handle each event.
 */
export function createControllerFactory(settings: FeatureSettings): ControllerFactory {
    return context => [
        new ConfigController(context, settings.config),
        new MembershipController(context, settings.membership),
        new JournalController(context, settings.journal),
        new BudgetController(context, settings.budget),
        new RecoveryController(context, settings.recovery),
        new IdempotencyController(context, settings.idempotency),
        new UpstreamController(context, settings.upstream),
        new AdmissionController(context, settings.admission),
        new LifecycleController(context, settings.lifecycle),
    ];
}
