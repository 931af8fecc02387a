/** What a fault injection run executes, and the files that it leaves. */
package sagefall.faultinjection.plan;
