/** The plan of a fault injection run, generated scenarios, and the files that a run writes. */
package sagefall.faultinjection.plan;
