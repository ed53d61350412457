/**
 * The fleet rig: many real mixers as processes before one emulated store, with every link between
 * them through a layer of faults, and a schedule of what breaks. {@link
 * gingerring.emulator.harness.FleetScenario} describes a run, {@link
 * gingerring.emulator.harness.Fleet} plays it. It meets mixers on sockets alone. The same
 * description and seed give the same schedule; the verdict comes from the referee and from what
 * must hold over all processes.
 */
package gingerring.emulator.harness;
