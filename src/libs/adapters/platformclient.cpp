#include "adapters/platformclient.h"

#include "adapters/tablecodec.h"
#include "utils/httpstatus.h"

namespace WisteriaHill::Adapters {

namespace {

using Controllers::HostListError;
using Controllers::HostListResult;
using Controllers::ListedHost;
using Model::TableAnswer;
using Model::TableError;
using Utils::Json;

TableAnswer readTableAnswer(const HttpCallResult& result)
{
    if (const auto* error = std::get_if<HttpClientError>(&result))
        return *error == HttpClientError::NotSent ? TableError::NotSent : TableError::Unknown;
    const auto& response = std::get<HttpResponse>(result);
    if (response.status != Utils::HttpStatus::ok && response.status != Utils::HttpStatus::conflict)
        return TableError::Unknown;
    try {
        return tableAnswerFromJson(Json::parse(response.body));
    } catch (const Json::exception&) {
        return TableError::Unknown;
    }
}

ListedHost hostFromJson(const Json& json)
{
    const bool entryHost = json.at("kind").get<std::string>() == "entryHost";
    return { .kind = entryHost ? ListedHost::Kind::EntryHost : ListedHost::Kind::BackendServer,
        .id = json.at("id").get<std::string>(),
        .address = { json.at("address").get<std::string>(), json.at("port").get<std::uint16_t>() },
        .leaving = json.at("leaving").get<bool>() };
}

} // namespace

PlatformClient::PlatformClient(HttpClient& client, Model::PeerAddress platform)
    : client(client)
    , platform(std::move(platform))
{
}

void PlatformClient::call(
    const Model::TableOperation& operation, Duration timeout, std::function<void(TableAnswer)> done)
{
    HttpCall call { .address = this->platform.address,
        .port = this->platform.port,
        .method = "POST",
        .path = "/v1/table",
        .body = tableOperationToJson(operation).dump(),
        .timeout = timeout };
    this->client.send(
        std::move(call), [done = std::move(done)](const HttpCallResult& result) { done(readTableAnswer(result)); });
}

void PlatformClient::fetchHostList(Duration timeout, std::function<void(HostListResult)> done)
{
    HttpCall call { .address = this->platform.address,
        .port = this->platform.port,
        .path = "/v1/hosts?since=" + std::to_string(this->listVersion),
        .timeout = timeout };
    this->client.send(std::move(call), [this, done = std::move(done)](const HttpCallResult& result) {
        const auto* response = std::get_if<HttpResponse>(&result);
        if (!response || response->status != Utils::HttpStatus::ok) {
            done(HostListError::Unavailable);
            return;
        }
        try {
            const Json json = Json::parse(response->body);
            if (json.contains("hosts")) {
                std::vector<ListedHost> read;
                for (const Json& host : json.at("hosts"))
                    read.push_back(hostFromJson(host));
                this->hosts = std::move(read);
                this->listVersion = json.at("version").get<std::uint64_t>();
            }
            done(this->hosts);
        } catch (const Json::exception&) {
            done(HostListError::Unavailable);
        }
    });
}

} // namespace WisteriaHill::Adapters
