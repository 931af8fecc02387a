/** Contains the entry point of the program. */
package sagefall;
