/**
 * The command {@code gingerring}: reads arguments, prints, and ends with a code. What it does
 * stands elsewhere.
 */
package gingerring.cli;
