/**
 * A soak of a mixer's process, as deployed, before a toy store: clients that break the protocol, or
 * keep to it without measure, beside usual ones. Started by hand or by CI, not by the test runner.
 */
package gingerring.emulator.soak;
