#pragma once

#include <algorithm>
#include <string>

/* sample_config - a configuration of the platform with each kind of member, for the tests of
 * platform_config and the fuzz target. Its quotes are single; see to_json(). */

// Replaces the single quotes of TEXT by double quotes.
inline std::string
to_json (std::string text)
{
  std::replace (text.begin (), text.end (), '\'', '"');
  return text;
}

const char *const SAMPLE_CONFIG
    = "{'version':'0000000c','routes':[{'name':'r-b','host':'H.example','path_prefix':'/b/c/',"
      "'route_type':'unsafe','timeout_ms':1000,'latency_goal_ms':500,'priority':1,'service':'s',"
      "'max_attempts':2,'colour':{'x':[1,2]}},{'name':'r-a','host':'h.example','path_prefix':'/',"
      "'route_type':'safe','timeout_ms':800,'priority':2,'traffic_split':[{'service':'s','weight':"
      "90},{'service':'t','weight':10}],'max_attempts':1}],'services':[{'name':'s','health_path':"
      "'/health','max_connections':330,'protocol':'h1','tls':false},{'name':'t'}],'limits':"
      "{'max_header_bytes':16384,'max_body_bytes':67108864,'header_timeout_ms':3000,"
      "'idle_timeout_ms':15000,'other':7},'extra':'kept'}";

// The same with teams, a public route and limits that a document holds in another form.
const char *const SAMPLE_TEAMS
    = "{'version':'0000000c','routes':[{'name':'r-a','host':'h.example','path_prefix':'/',"
      "'route_type':'safe','timeout_ms':800,'public_access':true,'service':'s'}],'services':"
      "[{'name':'s'}],'tenants':[{'name':'alpha','api_keys':['alpha-1','alpha-2'],'priority':1,"
      "'rate_per_s':437,'burst':437},{'name':'beta','api_keys':[],'rate_per_s':0,'burst':0.5,"
      "'colour':'x'},{'name':'delta','rate_per_s':0.0001},{'name':'gamma','api_keys':['~!'],"
      "'rate_per_s':5000000,'burst':-1}]}";
